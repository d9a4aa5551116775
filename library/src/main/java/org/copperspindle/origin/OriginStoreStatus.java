package org.copperspindle.origin;

/**
 * What a node has stored on its disk since its start.
 *
 * @param synced records that survive a loss of power
 * @param lost   records that could not be stored, because the disk failed or was too slow
 * @param bytes  length of all files
 */
public record OriginStoreStatus(long synced, long lost, long bytes) {}
