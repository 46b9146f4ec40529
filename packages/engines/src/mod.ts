/** Clients of model engines. */
export * from "./engine_client.ts";
export * from "./errors.ts";
export * from "./http_engine_client.ts";
