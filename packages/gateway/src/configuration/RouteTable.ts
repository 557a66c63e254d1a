import type {
  EngineProfile,
  GatewayAccount,
  GatewayConfiguration,
  Route,
  Service,
} from "./gatewayConfiguration.js";

/** Indexes one version of the configuration: routes by host and longest path prefix, services by name, and client accounts by key. */
export class RouteTable {
  readonly version: number;
  private readonly _routesByHost = new Map<string, Map<string, Route>>();
  private readonly _services = new Map<string, Service>();
  private readonly _accountsByKey = new Map<string, GatewayAccount>();

  constructor(readonly configuration: GatewayConfiguration) {
    this.version = configuration.version;
    for (const route of configuration.routes) this._addRoute(route);
    for (const service of configuration.services) this._services.set(service.name, service);
    for (const account of configuration.accounts ?? []) {
      for (const key of account.apiKeys) this._accountsByKey.set(key, account);
    }
  }

  /** Whether requests need an API key at all. */
  get hasAccounts(): boolean {
    return this.configuration.accounts !== undefined;
  }

  /**
   * Returns the route of a request.
   * @param host - Host name without the port.
   * @param path - Path with or without a query.
   */
  getRoute(host: string, path: string): Route | undefined {
    const routes = this._routesByHost.get(host.toLowerCase());
    if (routes === undefined) return undefined;
    const query = path.indexOf("?");
    const pathname = query < 0 ? path : path.slice(0, query);
    for (let end = pathname.lastIndexOf("/"); end >= 0; end = pathname.lastIndexOf("/", end - 1)) {
      const route = routes.get(pathname.slice(0, end + 1));
      if (route !== undefined) return route;
      if (end === 0) return undefined;
    }
    return undefined;
  }

  /** Returns the performance profile of a service's engines, or undefined if its endpoints are no engines. */
  getEngineProfile(service: string): EngineProfile | undefined {
    return this._services.get(service)?.engine;
  }

  /** Returns the performance profiles of all services whose endpoints are engines, by the name of the service. */
  getEngineProfiles(): ReadonlyMap<string, EngineProfile> {
    const { services } = this.configuration;
    return new Map(
      services.flatMap(({ name, engine }) => (engine === undefined ? [] : [[name, engine] as const])),
    );
  }

  /** Returns the client account that an API key belongs to. */
  getAccount(apiKey: string): GatewayAccount | undefined {
    return this._accountsByKey.get(apiKey);
  }

  private _addRoute(route: Route): void {
    const host = route.host.toLowerCase();
    const routes = this._routesByHost.get(host) ?? new Map<string, Route>();
    routes.set(route.pathPrefix, route);
    this._routesByHost.set(host, routes);
  }
}
