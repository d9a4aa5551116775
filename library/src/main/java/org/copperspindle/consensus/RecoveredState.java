package org.copperspindle.consensus;

import java.util.List;
import java.util.Optional;

/**
 * State that a member recovers from its disk.
 *
 * @param hardState its hard state
 * @param snapshot  newest snapshot; absent only while the member belongs to no group
 * @param entries   consecutive entries after the snapshot
 */
record RecoveredState(HardState hardState, Optional<LogSnapshot> snapshot, List<LogEntry> entries) {}
