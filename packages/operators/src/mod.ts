/** HTTP interface for operators, and its client. */
export * from "./operator_client.ts";
export * from "./operator_handler.ts";
export * from "./server.ts";
