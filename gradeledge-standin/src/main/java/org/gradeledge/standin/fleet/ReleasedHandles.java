package org.gradeledge.standin.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.gradeledge.standin.StandInHttp;

/** The handles of results that callers released at an engine. Thread-safe. */
final class ReleasedHandles {

  private final List<String> all = new CopyOnWriteArrayList<>();
  private final List<String> stale = new CopyOnWriteArrayList<>();

  /** Records a release request; handles without the prefix are of another incarnation. */
  void record(ReceivedRequest request, String currentPrefix) {
    JsonNode handles = StandInHttp.parseJson(RawHttpResponse.bytes(request.body())).path("handles");
    handles.forEach(handle -> all.add(handle.asText()));
    handles.forEach(handle -> addIfStale(handle.asText(), currentPrefix));
  }

  private void addIfStale(String handle, String currentPrefix) {
    if (!handle.startsWith(currentPrefix)) {
      stale.add(handle);
    }
  }

  List<String> all() {
    return all;
  }

  List<String> stale() {
    return stale;
  }
}
