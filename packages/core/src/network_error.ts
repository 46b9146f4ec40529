/** Classifies errors of HTTP clients and sockets. */

/** Details of a failed call, extracted from the error of an HTTP client or socket. */
export interface NetworkFailure {
  /** True only if the error proves that no byte of the request was sent. */
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

/** Extracts the network failure from a thrown value of any type. */
export function readNetworkFailure(error: unknown): NetworkFailure {
  const { code, message, name } = error as {
    readonly code?: string;
    readonly message?: string;
    readonly name?: string;
  };
  const notSent = code !== undefined && NOT_SENT_CODES.has(code);
  return { notSent, code, name, message: message ?? String(error) };
}
