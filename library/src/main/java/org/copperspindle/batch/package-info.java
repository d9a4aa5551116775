/**
 * Stage work in pieces. Pieces of all nodes that go to the same pool meet at one node, which packs them into calls: a
 * call has a fixed cost that dwarfs the cost of a piece, so that calls made by each node for itself would waste most of
 * a pool.
 */
package org.copperspindle.batch;
