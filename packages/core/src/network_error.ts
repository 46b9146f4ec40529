/** Reads errors of HTTP clients and sockets. */

/** An error of the network, as far as every peer package needs it. */
export interface NetworkFailure {
  /** Proved that no byte was sent. */
  readonly notSent: boolean;
  readonly code: string | undefined;
  readonly name: string | undefined;
  readonly message: string;
}

const NOT_SENT_CODES = new Set([
  "ECONNREFUSED",
  "EHOSTUNREACH",
  "ENETUNREACH",
  "UND_ERR_CONNECT_TIMEOUT",
]);

/** Reads what a thrown value says about the network. */
export function readNetworkFailure(error: unknown): NetworkFailure {
  const { code, message, name } = error as {
    readonly code?: string;
    readonly message?: string;
    readonly name?: string;
  };
  const notSent = code !== undefined && NOT_SENT_CODES.has(code);
  return { notSent, code, name, message: message ?? String(error) };
}
