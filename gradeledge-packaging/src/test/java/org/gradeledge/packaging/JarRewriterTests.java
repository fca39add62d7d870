package org.gradeledge.packaging;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import java.util.jar.JarEntry;
import java.util.jar.JarFile;
import java.util.jar.JarOutputStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.objectweb.asm.ClassReader;
import org.objectweb.asm.tree.ClassNode;
import org.objectweb.asm.tree.InvokeDynamicInsnNode;

class JarRewriterTests {

  private static final String SAMPLES = "org/gradeledge/packaging/LambdaSamples";

  @Test
  void rewrittenLambdasAnswerTheSame() throws Exception {
    Map<String, byte[]> rewritten = JarRewriter.rewrite(samples());
    Callable<?> sample =
        (Callable<?>)
            new RewrittenClasses(rewritten)
                .loadClass(SAMPLES.replace('/', '.'))
                .getDeclaredConstructor()
                .newInstance();
    assertThat(sample.getClass()).isNotEqualTo(LambdaSamples.class);
    assertThat(sample.call()).isEqualTo(new LambdaSamples().call());
  }

  @Test
  void noLambdaAndNoRecordIsLinkedAtRunTime() throws IOException {
    Map<String, byte[]> rewritten = JarRewriter.rewrite(samples());
    assertThat(rewritten.values().stream().flatMap(JarRewriterTests::linkedNames))
        .allMatch("toString"::equals);
    assertThat(rewritten.keySet()).anyMatch(name -> name.contains("$$Lambda"));
  }

  @Test
  void aJarKeepsItsOtherEntriesAndIsTheSameEachTime(@TempDir Path directory) throws IOException {
    Path one = jar(directory.resolve("one.jar"));
    Path other = jar(directory.resolve("other.jar"));
    JarRewriter.rewrite(one);
    JarRewriter.rewrite(other);
    assertThat(one).hasSameBinaryContentAs(other);
    try (JarFile jar = new JarFile(one.toFile())) {
      JarEntry text = jar.getJarEntry("notes.txt");
      assertThat(jar.getInputStream(text).readAllBytes()).isEqualTo("kept".getBytes());
    }
  }

  private static Path jar(Path path) throws IOException {
    try (JarOutputStream jar = new JarOutputStream(Files.newOutputStream(path))) {
      Map<String, byte[]> entries = new TreeMap<>(samples());
      entries.put("notes.txt", "kept".getBytes());
      for (Map.Entry<String, byte[]> entry : entries.entrySet()) {
        jar.putNextEntry(new JarEntry(entry.getKey()));
        jar.write(entry.getValue());
        jar.closeEntry();
      }
    }
    return path;
  }

  private static Map<String, byte[]> samples() throws IOException {
    Map<String, byte[]> entries = new HashMap<>();
    String[] names = {"", "$Named", "$Doubler", "$Place", "$Base", "$Derived"};
    for (String name : names) {
      String entry = SAMPLES + name + ".class";
      try (InputStream in = JarRewriterTests.class.getClassLoader().getResourceAsStream(entry)) {
        entries.put(entry, in.readAllBytes());
      }
    }
    return entries;
  }

  private static Stream<String> linkedNames(byte[] bytes) {
    ClassNode type = new ClassNode();
    new ClassReader(bytes).accept(type, 0);
    return type.methods.stream()
        .flatMap(method -> Stream.of(method.instructions.toArray()))
        .filter(InvokeDynamicInsnNode.class::isInstance)
        .map(instruction -> ((InvokeDynamicInsnNode) instruction).name);
  }

  /** Loads rewritten classes in place of those that the tests were compiled with. */
  private static final class RewrittenClasses extends ClassLoader {

    private final Map<String, byte[]> entries;

    RewrittenClasses(Map<String, byte[]> entries) {
      super(JarRewriterTests.class.getClassLoader());
      this.entries = entries;
    }

    @Override
    protected Class<?> loadClass(String name, boolean resolve) throws ClassNotFoundException {
      byte[] bytes = entries.get(name.replace('.', '/') + ".class");
      if (bytes == null) {
        return super.loadClass(name, resolve);
      }
      Class<?> loaded = findLoadedClass(name);
      return loaded == null ? defineClass(name, bytes, 0, bytes.length) : loaded;
    }
  }
}
