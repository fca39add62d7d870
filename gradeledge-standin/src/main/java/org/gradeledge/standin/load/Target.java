package org.gradeledge.standin.load;

import java.util.List;
import org.gradeledge.configuration.AccountDefinition;
import org.gradeledge.configuration.PipelineFile;

/** One pipeline under one client account. */
public record Target(PipelineFile file, AccountDefinition account) {

  /** Returns every account of every pipeline. */
  public static List<Target> of(List<PipelineFile> files) {
    return files.stream()
        .flatMap(file -> file.accounts().stream().map(account -> new Target(file, account)))
        .toList();
  }

  /** Returns the bearer token that the demonstration gives to the account. */
  public String token() {
    return "demo-" + account.name();
  }
}
