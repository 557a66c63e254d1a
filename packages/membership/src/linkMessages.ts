/** Notices by which the two sides of a link tell each other whether they use it. */
import * as zod from "zod";

/** Topic of the notices, which concern the link over which they are sent. Peers of earlier versions ignore them. */
export const linkTopic = "link";

/**
 * `doubted`: the sender receives nothing on the link. `used`: it does again. `retired`: it has replaced the link, and sends no more requests
 * on it.
 */
export const linkStatementSchema = zod.enum(["doubted", "used", "retired"]);
export type LinkStatement = zod.infer<typeof linkStatementSchema>;
