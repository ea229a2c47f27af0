import {defineConfig} from 'vitest/config';

export default defineConfig({
  test: {
    include: ['**/*_test.ts'],
    exclude: ['node_modules/**', 'dist/**'],
    // Bounds against hanging only; no verdict depends on how fast a test runs.
    testTimeout: 60_000,
    hookTimeout: 60_000,
    expect: {poll: {timeout: 30_000, interval: 50}},
  },
});
