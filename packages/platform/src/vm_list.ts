/** Client of the platform's VM list, which is JSON over HTTP. The list can be out of date. */

import * as neverthrow from "neverthrow";
import * as undici from "undici";
import * as valibot from "valibot";
import * as errors from "./errors.ts";
import type * as store from "./key_value_store.ts";

const vmSchema = valibot.object({
  /** Address of the process on the VM, as `host:port`. */
  address: valibot.string(),
  zone: valibot.string(),
  role: valibot.picklist(["entry", "engine", "service"]),
  state: valibot.picklist(["live", "leaving"]),
  /** Name of the plain service, if the role is `service`. */
  service: valibot.optional(valibot.string()),
  /** Id of the entry process, if the role is `entry`. */
  process: valibot.optional(valibot.string()),
});
const listSchema = valibot.object({ vms: valibot.array(vmSchema) });

export type VmEntry = Readonly<valibot.InferOutput<typeof vmSchema>>;

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
