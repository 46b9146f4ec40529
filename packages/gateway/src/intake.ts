/** The account of callers' memory for other servers of callers: requests, their bodies and answers. */
export * from "./answer_sender.ts";
export * from "./caller_flow.ts";
export * from "./memory_agent.ts";
export * from "./parser_stop.ts";
