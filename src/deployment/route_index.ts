import {createHash} from 'node:crypto';
import type {
  DeploymentConfiguration,
  Route,
  TeamConfiguration,
} from './configuration.ts';

/** Index of the routes and teams of one configuration. */
export class RouteIndex {
  private readonly routesByHost = new Map<string, Route[]>();
  private readonly teamsByKeyDigest = new Map<string, TeamConfiguration>();

  constructor(readonly configuration: DeploymentConfiguration) {
    for (const route of configuration.routes) {
      const routes = this.routesByHost.get(route.hostName) ?? [];
      routes.push(route);
      this.routesByHost.set(route.hostName, routes);
    }
    for (const routes of this.routesByHost.values()) {
      routes.sort((left, right) => right.prefix.length - left.prefix.length);
    }
    for (const team of configuration.teams ?? []) {
      for (const key of team.keys) {
        this.teamsByKeyDigest.set(digestKey(key), team);
      }
    }
  }

  /**
   * Finds the route of the host whose prefix is the longest match of the path.
   *
   * @param hostName Value of the Host header, without a port.
   * @param path Path with or without a query.
   */
  findRoute(hostName: string, path: string): Route | undefined {
    const routes = this.routesByHost.get(hostName.toLowerCase());
    return routes?.find(route => path.startsWith(route.prefix));
  }

  /** Finds the team that owns an API key; keys are compared by digest. */
  findTeam(key: string): TeamConfiguration | undefined {
    return this.teamsByKeyDigest.get(digestKey(key));
  }
}

function digestKey(key: string): string {
  return createHash('sha256').update(key).digest('base64');
}

/**
 * Picks the service of one of the targets of a route, by weight.
 *
 * @param route Route with at least one target.
 * @param fraction Number in [0, 1) that selects the target.
 */
export function pickService(
  route: Route,
  fraction: number,
): string | undefined {
  const total = route.targets.reduce((sum, target) => sum + target.weight, 0);
  let remaining = fraction * total;
  for (const target of route.targets) {
    remaining -= target.weight;
    if (remaining < 0) return target.service;
  }
  return route.targets.at(-1)?.service;
}
