/** Links between entry processes. */
export * from "./codec.ts";
export * from "./messages.ts";
export * from "./peer_link.ts";
export * from "./peer_mesh.ts";
