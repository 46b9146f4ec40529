/** The operators' interface and command. */
export * from "./operator_client.ts";
export * from "./operator_handler.ts";
export * from "./server.ts";
