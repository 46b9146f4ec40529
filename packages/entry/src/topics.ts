/** Topics through which the components of an entry process notify each other of changes. */

import * as core from "@peridotvale/core";
import type * as policy from "@peridotvale/policy";

/** A manifest that has been applied: the stored record and its parsed form. */
export interface AppliedManifest {
  readonly record: policy.ManifestRecord;
  readonly manifest: core.Manifest;
}

/** Published when a new manifest has been applied. */
export const MANIFEST_APPLIED = core.createTopic<AppliedManifest>(
  "manifest_applied",
);
/** Published when the endpoint table has changed. */
export const ENDPOINTS_CHANGED = core.createTopic<void>("endpoints_changed");
/** Published when the set of live members or the state of a member has changed. */
export const MEMBERS_CHANGED = core.createTopic<void>("members_changed");
