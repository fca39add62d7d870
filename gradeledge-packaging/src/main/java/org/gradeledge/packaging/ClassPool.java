package org.gradeledge.packaging;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.objectweb.asm.ClassReader;
import org.objectweb.asm.Handle;
import org.objectweb.asm.Opcodes;
import org.objectweb.asm.tree.ClassNode;
import org.objectweb.asm.tree.MethodNode;

/** The classes of a jar and those of the JDK, by internal name. Not thread-safe. */
final class ClassPool {

  private final Map<String, ClassNode> own;
  private final Map<String, Optional<ClassNode>> platform = new HashMap<>();

  ClassPool(Map<String, ClassNode> own) {
    this.own = Map.copyOf(own);
  }

  /**
   * Returns whether a class in the same package as another one may call a method as that one does;
   * false also where that cannot be told.
   */
  boolean mayBeCalledBeside(ClassNode caller, Handle method) {
    Optional<ClassNode> owner = find(method.getOwner());
    return owner.filter(type -> isPublic(type.access) || samePackage(type, caller)).isPresent()
        && declaring(method).filter(found -> found.mayBeCalledBeside(caller)).isPresent();
  }

  private record Declared(ClassNode type, MethodNode method) {

    boolean mayBeCalledBeside(ClassNode caller) {
      boolean isPrivate = (method.access & Opcodes.ACC_PRIVATE) != 0;
      return !isPrivate && (isPublic(method.access) || samePackage(type, caller));
    }
  }

  private Optional<Declared> declaring(Handle wanted) {
    Deque<String> names = new ArrayDeque<>(List.of(wanted.getOwner()));
    while (!names.isEmpty()) {
      Optional<ClassNode> type = find(names.poll());
      if (type.isEmpty()) {
        return Optional.empty();
      }
      Optional<Declared> found =
          type.get().methods.stream()
              .filter(each -> each.name.equals(wanted.getName()))
              .filter(each -> each.desc.equals(wanted.getDesc()))
              .map(each -> new Declared(type.get(), each))
              .findFirst();
      if (found.isPresent()) {
        return found;
      }
      Optional.ofNullable(type.get().superName).ifPresent(names::add);
      names.addAll(type.get().interfaces);
    }
    return Optional.empty();
  }

  private Optional<ClassNode> find(String name) {
    return Optional.ofNullable(own.get(name))
        .or(() -> platform.computeIfAbsent(name, ClassPool::load));
  }

  private static Optional<ClassNode> load(String name) {
    try (InputStream in = ClassLoader.getSystemResourceAsStream(name + ".class")) {
      if (in == null) {
        return Optional.empty();
      }
      ClassNode type = new ClassNode();
      new ClassReader(in).accept(type, ClassReader.SKIP_CODE);
      return Optional.of(type);
    } catch (IOException e) {
      throw new UncheckedIOException("cannot read class " + name, e);
    }
  }

  private static boolean isPublic(int access) {
    return (access & Opcodes.ACC_PUBLIC) != 0;
  }

  private static boolean samePackage(ClassNode one, ClassNode other) {
    return packageOf(one.name).equals(packageOf(other.name));
  }

  private static String packageOf(String name) {
    return name.substring(0, Math.max(0, name.lastIndexOf('/')));
  }
}
