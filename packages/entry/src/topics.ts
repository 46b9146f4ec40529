/** Topics by which the features of an entry process know of each other. */

import * as core from "@peridotvale/core";
import type * as policy from "@peridotvale/policy";

/** A manifest that is now in force here. */
export interface AppliedManifest {
  readonly record: policy.ManifestRecord;
  readonly manifest: core.Manifest;
}

/** A new manifest is in force. */
export const MANIFEST_APPLIED = core.createTopic<AppliedManifest>(
  "manifest_applied",
);
/** The endpoint table has changed. */
export const ENDPOINTS_CHANGED = core.createTopic<void>("endpoints_changed");
/** The set of live members or their states have changed. */
export const MEMBERS_CHANGED = core.createTopic<void>("members_changed");
