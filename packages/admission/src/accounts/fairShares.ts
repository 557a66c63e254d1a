/** Max-min fair shares of client accounts in what a service can take. */
import { utils } from "@shedtiller/common";

/**
 * Least ratio of the share of an account's requests that is admitted to that of all requests. Twice the quarter that each account keeps of
 * what others get, since its admitted requests may still be rejected by urgency.
 */
const leastAdmittedRatio = 0.5;

/**
 * Share of what is admitted that is divided. While accounts with more than their shares cause the rejections, this moves the rejections to
 * them step by step, until the service need not reject others by urgency.
 */
const dividedShare = 0.9;
/** Accounts that ask for up to this multiple of the median are never limited: their demands differ by chance. */
const usualMultiple = 1.5;

/** Demand of the accounts of a service, in any unit that all fields share. */
export interface AccountDemands {
  /** Requests of each account that asks for any. */
  readonly byAccount: ReadonlyMap<string, number>;
  /** Requests that were admitted of all accounts together. */
  readonly admitted: number;
}

/** The shares that follow from the demands. */
export interface FairShares {
  /** Demand up to which all requests of an account are admitted; infinite if there is enough for all. */
  readonly fairDemand: number;
  /** Share of its requests that is admitted, by account; accounts that are not named have all of theirs admitted. */
  readonly limited: ReadonlyMap<string, number>;
}

/**
 * Returns the demand up to which max-min fairness serves each account: accounts that ask for less get all, and the others the same each.
 * @param capacity - What can be served of the sum of the demands.
 */
export function getFairDemand(demands: readonly number[], capacity: number): number {
  const sorted = [...demands].sort((a, b) => a - b);
  let remaining = capacity;
  for (const [index, demand] of sorted.entries()) {
    const each = remaining / (sorted.length - index);
    if (demand > each) return each;
    remaining -= demand;
  }
  return Number.POSITIVE_INFINITY;
}

/**
 * Computes the shares of accounts. Only accounts that ask for more than usual are limited: if all ask for the same, there is too little for
 * all, and nobody has more than a fair share.
 */
export function getFairShares({ byAccount, admitted }: AccountDemands): FairShares {
  const demands = [...byAccount.values()].filter((demand) => demand > 0);
  const total = utils.getSum(demands);
  if (demands.length < 2) return { fairDemand: Number.POSITIVE_INFINITY, limited: new Map() };
  const usualDemand = getMedian(demands) * usualMultiple;
  const fairDemand = Math.max(getFairDemand(demands, admitted * dividedShare), usualDemand);
  const leastShare = leastAdmittedRatio * Math.min(1, admitted / total);
  const limited = new Map<string, number>();
  for (const [account, demand] of byAccount)
    if (demand > fairDemand) limited.set(account, Math.max(leastShare, fairDemand / demand));
  return { fairDemand, limited };
}

function getMedian(values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor(sorted.length / 2)] ?? 0;
}
