package org.gradeledge.standin.load;

import java.util.List;
import org.gradeledge.configuration.AccountDefinition;
import org.gradeledge.configuration.PipelineFile;

/** One pipeline under one client account. */
record Target(PipelineFile file, AccountDefinition account) {

  static List<Target> of(List<PipelineFile> files) {
    return files.stream()
        .flatMap(file -> file.accounts().stream().map(account -> new Target(file, account)))
        .toList();
  }

  String token() {
    return "demo-" + account.name();
  }
}
