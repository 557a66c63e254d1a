/** Messages by which an instance of the same zone forwards a request to an instance without a direct link. */
import * as zod from "zod";

export const forwardSchema = zod.object({
  to: zod.string(),
  topic: zod.string(),
  body: zod.unknown(),
  timeoutMs: zod.number(),
});

export const forwardReplySchema = zod.object({ isDelivered: zod.boolean(), body: zod.unknown() });
