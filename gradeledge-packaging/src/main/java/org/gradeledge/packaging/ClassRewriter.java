package org.gradeledge.packaging;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.objectweb.asm.Handle;
import org.objectweb.asm.Opcodes;
import org.objectweb.asm.tree.AbstractInsnNode;
import org.objectweb.asm.tree.ClassNode;
import org.objectweb.asm.tree.InvokeDynamicInsnNode;
import org.objectweb.asm.tree.MethodInsnNode;
import org.objectweb.asm.tree.MethodNode;

/**
 * Rewrites one class. The method of a lambda's body is private; it becomes visible in its package
 * under a name that no subclass has, so that the lambda's own class can call it.
 */
final class ClassRewriter {

  private static final String BODY_PREFIX = "lambda$";
  private static final String CLASS_INFIX = "$$Lambda";

  private final ClassNode type;
  private final ClassPool pool;
  private final List<ClassNode> made = new ArrayList<>();
  private final Map<String, String> bodyNames = new HashMap<>();
  private boolean changed;

  ClassRewriter(ClassNode type, ClassPool pool) {
    this.type = type;
    this.pool = pool;
  }

  /** Rewrites the class in place; returns the classes that were made, empty if nothing changed. */
  Optional<List<ClassNode>> rewrite() {
    List.copyOf(type.methods).forEach(this::rewriteSites);
    if (!changed) {
      return Optional.empty();
    }
    type.methods.forEach(this::openBody);
    type.methods.forEach(this::rename);
    return Optional.of(made);
  }

  private void rewriteSites(MethodNode method) {
    for (AbstractInsnNode instruction : method.instructions.toArray()) {
      if (instruction instanceof InvokeDynamicInsnNode site) {
        replacement(site)
            .ifPresent(
                replacement -> {
                  method.instructions.set(site, replacement);
                  changed = true;
                });
      }
    }
  }

  private Optional<AbstractInsnNode> replacement(InvokeDynamicInsnNode site) {
    return LambdaCallSite.of(site)
        .map(lambda -> lambdaReplacement(site, lambda))
        .orElseGet(() -> RecordMethod.add(type, site).map(AbstractInsnNode.class::cast));
  }

  private Optional<AbstractInsnNode> lambdaReplacement(
      InvokeDynamicInsnNode site, LambdaCallSite lambda) {
    Handle body = lambda.body();
    boolean ownBody = isOwnBody(body);
    if (!ownBody && !pool.mayBeCalledBeside(type, body)) {
      return Optional.empty();
    }
    String bodyName = ownBody ? newBodyName(body) : body.getName();
    String name = type.name + CLASS_INFIX + made.size();
    made.add(LambdaClass.make(type, lambda, name, bodyName));
    return Optional.of(LambdaClass.use(site, name));
  }

  private boolean isOwnBody(Handle body) {
    return body.getOwner().equals(type.name) && body.getName().startsWith(BODY_PREFIX);
  }

  private String newBodyName(Handle body) {
    String name = body.getName() + "$" + type.name.replace('/', '_');
    return bodyNames.computeIfAbsent(body.getName() + body.getDesc(), key -> name);
  }

  private Optional<String> newName(String owner, String name, String descriptor) {
    return owner.equals(type.name)
        ? Optional.ofNullable(bodyNames.get(name + descriptor))
        : Optional.empty();
  }

  private void openBody(MethodNode method) {
    newName(type.name, method.name, method.desc)
        .ifPresent(
            name -> {
              boolean ofInterface = (type.access & Opcodes.ACC_INTERFACE) != 0;
              method.name = name;
              method.access &= ~Opcodes.ACC_PRIVATE;
              method.access |= ofInterface ? Opcodes.ACC_PUBLIC : 0;
            });
  }

  /** Uses of a body that stayed as they were, such as those that serialization needs. */
  private void rename(MethodNode method) {
    for (AbstractInsnNode instruction : method.instructions.toArray()) {
      if (instruction instanceof InvokeDynamicInsnNode site) {
        renameArguments(site);
      } else if (instruction instanceof MethodInsnNode call) {
        newName(call.owner, call.name, call.desc).ifPresent(name -> renameCall(call, name));
      }
    }
  }

  private static void renameCall(MethodInsnNode call, String name) {
    call.name = name;
    if (call.getOpcode() == Opcodes.INVOKESPECIAL) {
      call.setOpcode(call.itf ? Opcodes.INVOKEINTERFACE : Opcodes.INVOKEVIRTUAL);
    }
  }

  private void renameArguments(InvokeDynamicInsnNode site) {
    for (int index = 0; index < site.bsmArgs.length; index++) {
      if (site.bsmArgs[index] instanceof Handle handle) {
        site.bsmArgs[index] = renamed(handle);
      }
    }
  }

  private Handle renamed(Handle handle) {
    int tag =
        handle.getTag() == Opcodes.H_INVOKESPECIAL ? Opcodes.H_INVOKEVIRTUAL : handle.getTag();
    return newName(handle.getOwner(), handle.getName(), handle.getDesc())
        .map(
            name ->
                new Handle(tag, handle.getOwner(), name, handle.getDesc(), handle.isInterface()))
        .orElse(handle);
  }
}
