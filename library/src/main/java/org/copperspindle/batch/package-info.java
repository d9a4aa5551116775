/**
 * Batching of stage work. The pieces that all nodes have for a pool are collected at one node, the dispatcher of the
 * pool, which batches them into calls. A call has a fixed cost that is much higher than the cost of a piece, so
 * separate calls by each node would waste most of the pool's capacity.
 */
package org.copperspindle.batch;
