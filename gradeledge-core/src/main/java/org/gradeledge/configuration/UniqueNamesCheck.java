package org.gradeledge.configuration;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.gradeledge.document.Fault;

/** Names of stages, accounts and upstreams, and tokens of accounts, stand once each. */
final class UniqueNamesCheck implements PipelineCheck {

  @Override
  public Stream<Fault> findFaults(PipelineFile file) {
    return Stream.of(
            findDuplicates("/stages", "name", file.stages(), StageDefinition::name),
            findDuplicates("/accounts", "name", file.accounts(), AccountDefinition::name),
            findDuplicates(
                "/accounts", "tokenSha256", file.accounts(), AccountDefinition::tokenSha256),
            findDuplicates("/upstreams", "id", file.upstreams(), UpstreamDefinition::id))
        .flatMap(Function.identity());
  }

  private static <T> Stream<Fault> findDuplicates(
      String list, String key, List<T> items, Function<T, String> nameOf) {
    Set<String> seen = new HashSet<>();
    return IntStream.range(0, items.size())
        .filter(index -> !seen.add(nameOf.apply(items.get(index))))
        .mapToObj(
            index -> new Fault(list + "/" + index + "/" + key, "must differ from all before it"));
  }
}
