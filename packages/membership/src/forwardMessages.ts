/** Messages by which an instance forwards a request to an instance of its zone to which the requester has no link. */
import * as zod from "zod";

export const forwardSchema = zod.object({
  to: zod.string(),
  topic: zod.string(),
  body: zod.unknown(),
  timeoutMs: zod.number(),
});

export const forwardReplySchema = zod.object({ isDelivered: zod.boolean(), body: zod.unknown() });
