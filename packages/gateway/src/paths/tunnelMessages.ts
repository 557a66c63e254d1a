/** Schemas of the messages with which an instance asks a peer to forward a connection to an endpoint. */
import * as zod from "zod";

/** Path of the connections at the peer listener that become tunnels. */
export const tunnelPath = "/tunnel";
/** Protocol name of the upgrade to a tunnel. */
export const tunnelProtocol = "shedtiller-tunnel";
/** Header with the ticket that authorizes a connection to become a tunnel. */
export const ticketHeader = "tunnel-ticket";

/** A request to connect to an endpoint. */
export const tunnelRequestSchema = zod.object({ address: zod.string() });

/**
 * Result of the request. `no-path`: the peer has lost its own path to the endpoint. `refused` and `unanswered`: the endpoint refused the
 * connection or did not answer. `unknown`: the peer does not know the endpoint. `full`: the peer forwards no more connections. `leaving`:
 * the peer stops.
 */
export const tunnelOutcomeSchema = zod.enum([
  "open",
  "no-path",
  "refused",
  "unanswered",
  "unknown",
  "full",
  "leaving",
]);
export type TunnelOutcome = zod.infer<typeof tunnelOutcomeSchema>;

export const tunnelReplySchema = zod.object({
  outcome: tunnelOutcomeSchema,
  /** Authorizes one connection to the peer listener; present if the tunnel is open. */
  ticket: zod.string().optional(),
  /** Address of the peer listener; present if the tunnel is open. A linked peer's address is not always known from the registry. */
  peerAddress: zod.string().optional(),
  /** Number of connections that the peer forwards. */
  carried: zod.number(),
});
export type TunnelReply = zod.infer<typeof tunnelReplySchema>;

/** A question how the connection of a tunnel to its endpoint ended. */
export const tunnelEndRequestSchema = zod.object({ ticket: zod.string() });
export const tunnelEndSchema = zod.enum(["closed", "reset"]);
export type TunnelEnd = zod.infer<typeof tunnelEndSchema>;
