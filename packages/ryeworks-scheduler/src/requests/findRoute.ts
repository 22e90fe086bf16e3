import {ServiceDefinition, ServiceRoute} from '@ryeworks/types';

/** Returns whether a path matches a pattern, which may end with `*`. */
function matchesPath(pattern: string, path: string): boolean {
  if (!pattern.endsWith('*')) return pattern === path;
  return path.startsWith(pattern.slice(0, -1));
}

/** Finds the first route of a service that matches `METHOD path`. */
export function findRoute(
  service: ServiceDefinition,
  call: string,
): ServiceRoute | undefined {
  const spaceIndex = call.indexOf(' ');
  const method = call.slice(0, spaceIndex);
  const path = call.slice(spaceIndex + 1);
  for (const route of service.routes) {
    if (route.method === method && matchesPath(route.path, path)) return route;
  }
  return undefined;
}
