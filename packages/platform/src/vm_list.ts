/** The platform's list of VMs, in JSON over HTTP; it lags. */

import * as neverthrow from "neverthrow";
import * as undici from "undici";
import * as valibot from "valibot";
import * as errors from "./errors.ts";
import type * as store from "./key_value_store.ts";

const vmSchema = valibot.object({
  /** Address of the VM's process, `host:port`. */
  address: valibot.string(),
  zone: valibot.string(),
  role: valibot.picklist(["entry", "engine", "service"]),
  state: valibot.picklist(["live", "leaving"]),
  /** Name of the plain service, for role `service`. */
  service: valibot.optional(valibot.string()),
  /** Identity of the entry process, for role `entry`. */
  process: valibot.optional(valibot.string()),
});
const listSchema = valibot.object({ vms: valibot.array(vmSchema) });

/** One line of the VM list. */
export type VmEntry = Readonly<valibot.InferOutput<typeof vmSchema>>;

/** Reads the VM list. */
export interface VmList {
  read(): store.PlatformResult<readonly VmEntry[]>;
}

/** {@linkcode VmList} over HTTP: `GET {url}/vms`. */
export class HttpVmList implements VmList {
  readonly #url: string;
  readonly #timeoutMs: number;

  constructor(options: { readonly url: string; readonly timeoutMs: number }) {
    this.#url = options.url;
    this.#timeoutMs = options.timeoutMs;
  }

  async read(): store.PlatformResult<readonly VmEntry[]> {
    try {
      const { statusCode, body } = await undici.request(`${this.#url}/vms`, {
        signal: AbortSignal.timeout(this.#timeoutMs),
      });
      const text = await body.text();
      if (statusCode !== 200) {
        return neverthrow.err({
          type: "rejected",
          status: statusCode,
          message: text,
        });
      }
      return neverthrow.ok(valibot.parse(listSchema, JSON.parse(text)).vms);
    } catch (error) {
      return neverthrow.err(errors.createPlatformError(error));
    }
  }
}
