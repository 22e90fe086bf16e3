/** The limits on callers of the example on the pages. */
export const limits = {
  max_header_bytes: 16384,
  max_body_bytes: 4194304,
  header_timeout_ms: 3000,
  idle_timeout_ms: 15000,
};

/** Creates a route of the desired state. */
export function createRoute(name, service, kind, more = {}) {
  return {
    name,
    host: 'calls.example',
    path_prefix: `/${name}/`,
    route_kind: kind,
    timeout_ms: 4000,
    latency_target_ms: 400,
    priority: 0,
    service,
    max_attempts: 2,
    anonymous: false,
    sticky: false,
    ...more,
  };
}

/** Creates a desired state. */
export function createConfig(version, routes, more = {}) {
  return {
    version,
    routes,
    services: [...new Set(routes.map(route => route.service))].map(name => ({
      name,
      health_path: '/healthz',
      max_connections: 490,
      protocol: 'h1',
      tls: false,
    })),
    limits,
    tenants: [{name: 'tenant-one', api_keys: ['key-one'], priority: 0}],
    ...more,
  };
}
