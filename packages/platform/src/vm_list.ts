/** Client of the platform's VM list, which is JSON over HTTP. The list can be out of date. */

import * as core from "@peridotvale/core";
import * as neverthrow from "neverthrow";
import * as undici from "undici";
import * as valibot from "valibot";
import * as agents from "./agent.ts";
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
  readonly #agent: undici.Agent;

  constructor(options: { readonly url: string; readonly timeoutMs: number }) {
    const { url, timeoutMs } = options;
    this.#agent = agents.createAgent(url, timeoutMs);
    this.#url = url;
    this.#timeoutMs = timeoutMs;
  }

  async read(): store.PlatformResult<readonly VmEntry[]> {
    try {
      const { statusCode, body } = await undici.request(`${this.#url}/vms`, {
        dispatcher: this.#agent,
        signal: AbortSignal.timeout(this.#timeoutMs),
      });
      const text = (await core.collectBody(body, agents.MAX_ANSWER_BYTES)).toString("utf8");
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
