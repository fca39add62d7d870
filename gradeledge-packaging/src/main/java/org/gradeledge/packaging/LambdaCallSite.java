package org.gradeledge.packaging;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import org.objectweb.asm.Handle;
import org.objectweb.asm.Type;
import org.objectweb.asm.tree.InvokeDynamicInsnNode;

/**
 * What a lambda's call site says, as {@code java.lang.invoke.LambdaMetafactory} documents it.
 *
 * @param type the interface
 * @param captured types of the captured values
 * @param methodName name of the interface's method
 * @param methodTypes types of the method, and of those that bridge to it
 * @param actualType the method's type with the arguments of the interface's type filled in
 * @param body what the method calls
 * @param markers internal names of further interfaces
 */
record LambdaCallSite(
    Type type,
    Type[] captured,
    String methodName,
    List<Type> methodTypes,
    Type actualType,
    Handle body,
    List<String> markers) {

  private static final String FACTORY = "java/lang/invoke/LambdaMetafactory";
  private static final String FACTORY_WITH_FLAGS = "altMetafactory";
  private static final int FIXED_ARGUMENTS = 3;
  private static final int IS_SERIALIZABLE = 1;
  private static final int HAS_MARKERS = 2;
  private static final int HAS_BRIDGES = 4;

  /** Reads a call site; empty if it is no lambda's. Its own serialized form is passed over. */
  static Optional<LambdaCallSite> of(InvokeDynamicInsnNode site) {
    if (!FACTORY.equals(site.bsm.getOwner())) {
      return Optional.empty();
    }
    List<Type> methodTypes = new ArrayList<>(List.of((Type) site.bsmArgs[0]));
    List<String> markers = new ArrayList<>();
    if (FACTORY_WITH_FLAGS.equals(site.bsm.getName())) {
      readFlags(site.bsmArgs, methodTypes, markers);
    }
    return Optional.of(
        new LambdaCallSite(
            Type.getReturnType(site.desc),
            Type.getArgumentTypes(site.desc),
            site.name,
            methodTypes,
            (Type) site.bsmArgs[2],
            (Handle) site.bsmArgs[1],
            markers));
  }

  private static void readFlags(Object[] arguments, List<Type> bridges, List<String> markers) {
    int flags = (Integer) arguments[FIXED_ARGUMENTS];
    int place = FIXED_ARGUMENTS + 1;
    if ((flags & IS_SERIALIZABLE) != 0) {
      markers.add("java/io/Serializable");
    }
    if ((flags & HAS_MARKERS) != 0) {
      List<Type> types = readTypes(arguments, place);
      types.forEach(each -> markers.add(each.getInternalName()));
      place += 1 + types.size();
    }
    if ((flags & HAS_BRIDGES) != 0) {
      bridges.addAll(readTypes(arguments, place));
    }
  }

  private static List<Type> readTypes(Object[] arguments, int place) {
    int count = (Integer) arguments[place];
    return Arrays.stream(arguments, place + 1, place + 1 + count).map(Type.class::cast).toList();
  }
}
