package org.gradeledge.specification;

import edu.mit.csail.sdg.alloy4.A4Reporter;
import edu.mit.csail.sdg.ast.Command;
import edu.mit.csail.sdg.parser.CompModule;
import edu.mit.csail.sdg.parser.CompUtil;
import edu.mit.csail.sdg.translator.A4Options;
import edu.mit.csail.sdg.translator.TranslateAlloyToKodkod;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import kodkod.engine.satlab.SATFactory;

/** The text of the specification, whole or with one rule changed, and the checker over it. */
record Specification(String text) {

  private static final Path FILE = Path.of("..", "spec", "change.als");

  static Specification whole() {
    try {
      return new Specification(Files.readString(FILE));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Returns the specification with one rule changed; the rule must be there. */
  Specification with(String rule, String changed) {
    if (!text.contains(rule)) {
      throw new AssertionError("the specification must have the rule: " + rule);
    }
    return new Specification(text.replace(rule, changed));
  }

  /** Returns whether the checker finds an instance of a run, or a counterexample of a check. */
  boolean finds(String commandName) {
    CompModule module = CompUtil.parseEverything_fromString(A4Reporter.NOP, text);
    Command command =
        module.getAllCommands().stream()
            .filter(each -> each.label.equals(commandName))
            .findFirst()
            .orElseThrow(() -> new AssertionError("no command " + commandName));
    A4Options options = new A4Options();
    options.solver = SATFactory.DEFAULT;
    return TranslateAlloyToKodkod.execute_command(
            A4Reporter.NOP, module.getAllReachableSigs(), command, options)
        .satisfiable();
  }
}
