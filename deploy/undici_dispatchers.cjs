/**
 * The dispatchers of undici that the gateway uses, without fetch, caches, mocks and WebSocket.
 * The bundle contains them instead of the whole package, since each process pays for the memory
 * of all modules that it loads.
 */

"use strict";

const Dispatcher = require("../node_modules/undici/lib/dispatcher/dispatcher.js");

Dispatcher.prototype.request = require("../node_modules/undici/lib/api/api-request.js");

module.exports = {
  Agent: require("../node_modules/undici/lib/dispatcher/agent.js"),
  Client: require("../node_modules/undici/lib/dispatcher/client.js"),
  Dispatcher,
  Pool: require("../node_modules/undici/lib/dispatcher/pool.js"),
  buildConnector: require("../node_modules/undici/lib/core/connect.js"),
  errors: require("../node_modules/undici/lib/core/errors.js"),
};
