/**
 * Gateway that forwards callers' requests unchanged to endpoints, which it chooses by the routes
 * of the configuration.
 */
export * from "./codec.ts";
export * from "./connection_pool.ts";
export * from "./engine_control.ts";
export * from "./event_splitter.ts";
export { PARSER_MAX_HEADER_BYTES } from "./front_server.ts";
export * from "./gateway.ts";
export * from "./gateway_settings.ts";
export * from "./routing_store.ts";
