package org.gradeledge.packaging;

import java.util.Map;
import org.objectweb.asm.MethodVisitor;
import org.objectweb.asm.Opcodes;
import org.objectweb.asm.Type;

/** Converts the value on top of the stack as a lambda's interface and its body ask for. */
final class ValueConversion {

  private static final String OBJECT = "java/lang/Object";

  private static final Map<String, Type> PRIMITIVE_OF =
      Map.of(
          "java/lang/Integer", Type.INT_TYPE,
          "java/lang/Long", Type.LONG_TYPE,
          "java/lang/Double", Type.DOUBLE_TYPE,
          "java/lang/Float", Type.FLOAT_TYPE,
          "java/lang/Boolean", Type.BOOLEAN_TYPE,
          "java/lang/Byte", Type.BYTE_TYPE,
          "java/lang/Short", Type.SHORT_TYPE,
          "java/lang/Character", Type.CHAR_TYPE);

  private ValueConversion() {}

  /** Returns whether a type is primitive, {@code void} included. */
  static boolean isPrimitive(Type type) {
    return type.getSort() < Type.ARRAY;
  }

  /** Returns the internal name of the class that boxes a primitive type. */
  static String wrapperOf(Type primitive) {
    return PRIMITIVE_OF.entrySet().stream()
        .filter(each -> each.getValue().equals(primitive))
        .map(Map.Entry::getKey)
        .findFirst()
        .orElseThrow(() -> new IllegalArgumentException("no class boxes " + primitive));
  }

  /**
   * Converts a value.
   *
   * @param from type that it has
   * @param actual type that it is known to be of, as narrow as {@code from} or narrower
   * @param to type that it must have
   */
  static void convert(MethodVisitor code, Type from, Type actual, Type to) {
    if (isPrimitive(from)) {
      if (isPrimitive(to)) {
        widen(code, from, to);
      } else {
        box(code, from);
      }
    } else if (isPrimitive(to)) {
      unbox(code, actual, to);
    } else if (!to.equals(from) && !to.getInternalName().equals(OBJECT)) {
      code.visitTypeInsn(Opcodes.CHECKCAST, to.getInternalName());
    }
  }

  private static void box(MethodVisitor code, Type primitive) {
    String wrapper = wrapperOf(primitive);
    String descriptor = "(" + primitive.getDescriptor() + ")L" + wrapper + ";";
    code.visitMethodInsn(Opcodes.INVOKESTATIC, wrapper, "valueOf", descriptor, false);
  }

  private static void unbox(MethodVisitor code, Type actual, Type to) {
    String name = actual.getInternalName();
    String wrapper = PRIMITIVE_OF.containsKey(name) ? name : wrapperOf(to);
    Type primitive = PRIMITIVE_OF.get(wrapper);
    code.visitTypeInsn(Opcodes.CHECKCAST, wrapper);
    code.visitMethodInsn(
        Opcodes.INVOKEVIRTUAL,
        wrapper,
        primitive.getClassName() + "Value",
        "()" + primitive.getDescriptor(),
        false);
    widen(code, primitive, to);
  }

  private static void widen(MethodVisitor code, Type from, Type to) {
    boolean fromInt = from.getSort() <= Type.INT;
    if (from.equals(to) || fromInt && to.getSort() <= Type.INT) {
      return;
    }
    int instruction =
        switch (to.getSort()) {
          case Type.LONG -> Opcodes.I2L;
          case Type.FLOAT -> fromInt ? Opcodes.I2F : Opcodes.L2F;
          case Type.DOUBLE ->
              fromInt ? Opcodes.I2D : from.getSort() == Type.LONG ? Opcodes.L2D : Opcodes.F2D;
          default -> throw new IllegalArgumentException(from + " does not widen to " + to);
        };
    code.visitInsn(instruction);
  }
}
