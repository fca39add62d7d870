package org.gradeledge.resumption;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/** Archive in memory, which outlasts the boxes of a test. */
public final class FakeOriginArchive implements OriginArchive {

  private final Map<Long, Set<Long>> origins = new HashMap<>();

  /** Returns the number of streams. */
  public int size() {
    return origins.size();
  }

  @Override
  public void add(List<OriginRecord> records) {
    records.forEach(
        each ->
            origins
                .computeIfAbsent(each.streamKey(), key -> new HashSet<>())
                .add(each.originHash()));
  }

  @Override
  public void find(long streamKey, Consumer<Set<Long>> listener) {
    listener.accept(origins.getOrDefault(streamKey, Set.of()));
  }
}
