/**
 * The emulated world in simulated time: clients, relays, network, destinations and endpoints. Sources of its
 * models: endpoints are stations of c servers with a bounded queue (M/G/c/K, Kleinrock, Queueing Systems,
 * 1975) whose service times have a log-normal distribution (as seen in Dean and Barroso, The Tail at Scale,
 * 2013); limits are token buckets (Turner 1986) or counters over fixed windows; an endpoint that starts cold
 * serves at a share of its capacity that rises linearly, and collapses when it receives a multiple of what it
 * can serve (metastable failures, Bronson et al. 2021); clients arrive in a Poisson process, or in batches in
 * a compound one, and choose destinations by Zipf's law.
 */
package yewpath.lab.world;
