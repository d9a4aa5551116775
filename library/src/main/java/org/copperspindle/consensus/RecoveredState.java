package org.copperspindle.consensus;

import java.util.List;
import java.util.Optional;

/**
 * What a member finds on its disk.
 *
 * @param hardState its hard state
 * @param snapshot  newest snapshot; absent only while the member holds nothing of any group
 * @param entries   consecutive entries after the snapshot
 */
record RecoveredState(HardState hardState, Optional<LogSnapshot> snapshot, List<LogEntry> entries) {}
