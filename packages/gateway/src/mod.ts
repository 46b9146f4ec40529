/** Forwards callers' requests unchanged, on routes that the configuration declares. */
export * from "./codec.ts";
export * from "./connection_pool.ts";
export * from "./engine_control.ts";
export * from "./event_splitter.ts";
export * from "./gateway.ts";
export * from "./gateway_settings.ts";
export * from "./routing_store.ts";
