/** The callers' interface. */
export * from "./cursor.ts";
export * from "./request_handler.ts";
export * from "./server.ts";
