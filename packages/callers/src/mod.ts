/** HTTP interface for callers: generations and calls to plain services. */
export * from "./cursor.ts";
export * from "./request_handler.ts";
export * from "./server.ts";
