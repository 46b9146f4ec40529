/** Client of plain services. */
export * from "./errors.ts";
export * from "./service_client.ts";
