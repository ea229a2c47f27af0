const LOWEST_STATUS = 100;
const HIGHEST_STATUS = 599;

/**
 * Whether a number is a status of HTTP (RFC 9110, section 15). Node.js passes any three
 * digits of a status line on, such as 000.
 */
export function isHttpStatus(status: number | undefined): status is number {
  return (
    status !== undefined && status >= LOWEST_STATUS && status <= HIGHEST_STATUS
  );
}
