import * as core from "@peridotvale/core";
import * as fastCheck from "fast-check";
import * as tap from "tap";
import * as registers from "./config_register.ts";

function createConfig(release: number): core.RoutingConfig {
  return {
    release: core.createRelease(release),
    routes: [],
    services: new Map(),
    limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
    keys: undefined,
  };
}

// A watch may stall after an event. If events counted as confirmations, a later revocation could
// go unnoticed.
tap.t.test("a configuration received from the watch does not renew the confirmation", (t) => {
  const register = new registers.ConfigRegister();
  t.equal(register.getConfirmAgeMs(0), Infinity);
  t.equal(register.adopt(createConfig(3), 100), true);
  t.equal(register.adopt(createConfig(4), -Infinity), true);
  t.equal(register.getConfirmAgeMs(600), 500);
  t.end();
});

tap.t.test("release and confirmation time never decrease, in any order of arrival", (t) => {
  const configLists = fastCheck.array(fastCheck.record({
    release: fastCheck.nat(5),
    requestedAt: fastCheck.nat(100),
  }));
  fastCheck.assert(
    fastCheck.property(configLists, (receivedConfigs) => {
      const register = new registers.ConfigRegister();
      let release = -1;
      let confirmedAt = -Infinity;
      for (const receivedConfig of receivedConfigs) {
        register.adopt(createConfig(receivedConfig.release), receivedConfig.requestedAt);
        const currentRelease = register.inForce?.config.release ?? -1;
        if (currentRelease < release || register.confirmedAt < confirmedAt) return false;
        // A release older than the one in force must not confirm anything.
        if (receivedConfig.release < release && register.confirmedAt !== confirmedAt) return false;
        release = currentRelease;
        confirmedAt = register.confirmedAt;
      }
      return true;
    }),
    { seed: 20261204 },
  );
  t.end();
});

tap.t.test("a peer's confirmation time is the request time less the reported age", (t) => {
  const register = new registers.ConfigRegister();
  register.adopt(createConfig(3), 0);
  // The message was sent at 5,000 ms, and the peer reported an age of 400 ms. The time at which
  // the answer arrives makes no difference.
  register.applyPeerConfirmation(core.createRelease(3), { sentAt: 5_000, ageMs: 400 }, 5_100);
  t.equal(register.confirmedAt, 4_600);
  register.applyPeerConfirmation(core.createRelease(2), { sentAt: 9_000, ageMs: 0 }, 9_000);
  register.applyPeerConfirmation(core.createRelease(4), { sentAt: 9_000, ageMs: 0 }, 9_000);
  t.equal(register.confirmedAt, 4_600, "a confirmation of another release is ignored");
  register.applyPeerConfirmation(core.createRelease(3), { sentAt: 9_000, ageMs: -10_000 }, 9_000);
  register.applyPeerConfirmation(core.createRelease(3), { sentAt: 9_001, ageMs: 0 }, 9_000);
  t.equal(register.confirmedAt, 4_600, "a confirmation in the future is ignored");
  t.end();
});
