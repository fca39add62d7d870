package org.gradeledge.packaging;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import org.objectweb.asm.Handle;
import org.objectweb.asm.Label;
import org.objectweb.asm.Opcodes;
import org.objectweb.asm.Type;
import org.objectweb.asm.tree.ClassNode;
import org.objectweb.asm.tree.InvokeDynamicInsnNode;
import org.objectweb.asm.tree.MethodInsnNode;
import org.objectweb.asm.tree.MethodNode;

/**
 * Writes out {@code equals} and {@code hashCode} of a record as {@code java.lang.Record} defines
 * them; its {@code toString} stays as it is, as no request depends on it.
 */
final class RecordMethod {

  private static final String FACTORY = "java/lang/runtime/ObjectMethods";
  private static final String OBJECTS = "java/util/Objects";
  private static final String PREFIX = "record$";
  private static final int FIRST_FIELD = 2;
  private static final int FACTOR = 31;

  private final ClassNode host;
  private final List<Handle> fields;
  private final MethodNode code;

  private RecordMethod(ClassNode host, InvokeDynamicInsnNode site) {
    this.host = host;
    this.fields = Arrays.stream(site.bsmArgs).skip(FIRST_FIELD).map(Handle.class::cast).toList();
    int access = Opcodes.ACC_PRIVATE | Opcodes.ACC_STATIC | Opcodes.ACC_SYNTHETIC;
    this.code = new MethodNode(access, PREFIX + site.name, site.desc, null, null);
  }

  /** Adds the method to the record; returns what calls it, empty if the site is another one. */
  static Optional<MethodInsnNode> add(ClassNode host, InvokeDynamicInsnNode site) {
    if (!FACTORY.equals(site.bsm.getOwner()) || site.name.equals("toString")) {
      return Optional.empty();
    }
    RecordMethod method = new RecordMethod(host, site);
    if (site.name.equals("hashCode")) {
      method.writeHashCode();
    } else {
      method.writeEquals();
    }
    host.methods.add(method.code);
    return Optional.of(
        new MethodInsnNode(Opcodes.INVOKESTATIC, host.name, method.code.name, site.desc, false));
  }

  private void writeHashCode() {
    code.visitInsn(Opcodes.ICONST_0);
    for (Handle field : fields) {
      code.visitIntInsn(Opcodes.BIPUSH, FACTOR);
      code.visitInsn(Opcodes.IMUL);
      read(0, field);
      Type type = Type.getType(field.getDesc());
      if (ValueConversion.isPrimitive(type)) {
        callStatic(ValueConversion.wrapperOf(type), "hashCode", "(" + type + ")I");
      } else {
        callStatic(OBJECTS, "hashCode", "(Ljava/lang/Object;)I");
      }
      code.visitInsn(Opcodes.IADD);
    }
    code.visitInsn(Opcodes.IRETURN);
  }

  private void writeEquals() {
    Label different = new Label();
    code.visitVarInsn(Opcodes.ALOAD, 1);
    code.visitTypeInsn(Opcodes.INSTANCEOF, host.name);
    code.visitJumpInsn(Opcodes.IFEQ, different);
    for (Handle field : fields) {
      read(0, field);
      read(1, field);
      Type type = Type.getType(field.getDesc());
      if (ValueConversion.isPrimitive(type)) {
        callStatic(ValueConversion.wrapperOf(type), "compare", "(" + type + type + ")I");
        code.visitJumpInsn(Opcodes.IFNE, different);
      } else {
        callStatic(OBJECTS, "equals", "(Ljava/lang/Object;Ljava/lang/Object;)Z");
        code.visitJumpInsn(Opcodes.IFEQ, different);
      }
    }
    code.visitInsn(Opcodes.ICONST_1);
    code.visitInsn(Opcodes.IRETURN);
    code.visitLabel(different);
    code.visitFrame(Opcodes.F_SAME, 0, null, 0, null);
    code.visitInsn(Opcodes.ICONST_0);
    code.visitInsn(Opcodes.IRETURN);
  }

  private void read(int argument, Handle field) {
    code.visitVarInsn(Opcodes.ALOAD, argument);
    code.visitTypeInsn(Opcodes.CHECKCAST, host.name);
    code.visitFieldInsn(Opcodes.GETFIELD, host.name, field.getName(), field.getDesc());
  }

  private void callStatic(String owner, String name, String descriptor) {
    code.visitMethodInsn(Opcodes.INVOKESTATIC, owner, name, descriptor, false);
  }
}
