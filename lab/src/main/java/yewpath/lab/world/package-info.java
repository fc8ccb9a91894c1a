/**
 * The emulated world, in simulated time. Sources of its models: endpoints are stations of c servers with a bounded queue
 * (M/G/c/K, Kleinrock, Queueing Systems, 1975) and service times spread log-normally (as seen in Dean and Barroso, The Tail
 * at Scale, 2013); limits are token buckets (Turner 1986) or counters by fixed span; a cold start serves at a part of its
 * capacity that rises evenly, and falls over when offered a multiple of it (metastable failures, Bronson et al. 2021);
 * clients arrive in a Poisson stream, in clumps by a compound one, and choose destinations by Zipf's law.
 */
package yewpath.lab.world;
