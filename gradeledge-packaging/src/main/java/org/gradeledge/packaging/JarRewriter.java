package org.gradeledge.packaging;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.jar.JarEntry;
import java.util.jar.JarFile;
import java.util.jar.JarOutputStream;
import org.objectweb.asm.ClassReader;
import org.objectweb.asm.ClassWriter;
import org.objectweb.asm.tree.ClassNode;

/** Rewrites the classes of a jar in place. */
public final class JarRewriter {

  private static final String CLASS = ".class";
  private static final String META = "META-INF/";
  private static final String MODULE = "module-info.class";

  private JarRewriter() {}

  /** Rewrites the jar whose path is the only argument. */
  public static void main(String[] arguments) throws IOException {
    if (arguments.length != 1) {
      throw new IllegalArgumentException("the path of a jar must be given");
    }
    rewrite(Path.of(arguments[0]));
  }

  static void rewrite(Path jar) throws IOException {
    Map<String, byte[]> rewritten = rewrite(read(jar));
    Path next = jar.resolveSibling(jar.getFileName() + ".rewritten");
    write(next, rewritten);
    Files.move(next, jar, StandardCopyOption.REPLACE_EXISTING);
  }

  /** Returns the entries of a jar with the classes rewritten and those that were made. */
  static Map<String, byte[]> rewrite(Map<String, byte[]> entries) {
    Map<String, ClassNode> classes = new HashMap<>();
    entries.forEach(
        (name, bytes) -> {
          if (isClass(name)) {
            ClassNode type = new ClassNode();
            new ClassReader(bytes).accept(type, 0);
            classes.put(type.name, type);
          }
        });
    ClassPool pool = new ClassPool(classes);
    Map<String, byte[]> rewritten = new LinkedHashMap<>();
    entries.forEach(
        (name, bytes) -> {
          rewritten.put(name, bytes);
          Optional.ofNullable(isClass(name) ? classes.get(withoutSuffix(name)) : null)
              .ifPresent(type -> rewrite(type, pool, rewritten));
        });
    return rewritten;
  }

  private static void rewrite(ClassNode type, ClassPool pool, Map<String, byte[]> rewritten) {
    Optional<List<ClassNode>> made = new ClassRewriter(type, pool).rewrite();
    made.ifPresent(
        classes -> {
          rewritten.put(type.name + CLASS, bytes(type));
          classes.forEach(each -> rewritten.put(each.name + CLASS, bytes(each)));
        });
  }

  private static boolean isClass(String name) {
    return name.endsWith(CLASS) && !name.startsWith(META) && !name.endsWith(MODULE);
  }

  private static String withoutSuffix(String name) {
    return name.substring(0, name.length() - CLASS.length());
  }

  private static byte[] bytes(ClassNode type) {
    ClassWriter writer = new ClassWriter(ClassWriter.COMPUTE_MAXS);
    type.accept(writer);
    return writer.toByteArray();
  }

  private static Map<String, byte[]> read(Path path) throws IOException {
    Map<String, byte[]> entries = new LinkedHashMap<>();
    try (JarFile jar = new JarFile(path.toFile())) {
      for (JarEntry entry : Collections.list(jar.entries())) {
        if (!entry.isDirectory()) {
          entries.put(entry.getName(), jar.getInputStream(entry).readAllBytes());
        }
      }
    }
    return entries;
  }

  /** Writes entries with one fixed time each, so that the same classes give the same jar. */
  private static void write(Path path, Map<String, byte[]> entries) throws IOException {
    try (OutputStream file = Files.newOutputStream(path);
        JarOutputStream jar = new JarOutputStream(file)) {
      for (Map.Entry<String, byte[]> entry : entries.entrySet()) {
        JarEntry header = new JarEntry(entry.getKey());
        header.setTime(0);
        jar.putNextEntry(header);
        jar.write(entry.getValue());
        jar.closeEntry();
      }
    }
  }
}
