package org.gradeledge.packaging;

import java.util.ArrayList;
import java.util.List;
import org.objectweb.asm.Handle;
import org.objectweb.asm.Opcodes;
import org.objectweb.asm.Type;
import org.objectweb.asm.tree.AbstractInsnNode;
import org.objectweb.asm.tree.ClassNode;
import org.objectweb.asm.tree.FieldInsnNode;
import org.objectweb.asm.tree.FieldNode;
import org.objectweb.asm.tree.InvokeDynamicInsnNode;
import org.objectweb.asm.tree.MethodInsnNode;
import org.objectweb.asm.tree.MethodNode;

/**
 * The class of one lambda: a field for each captured value, and the method of the interface, which
 * calls the body.
 */
final class LambdaClass {

  private static final String OBJECT = "java/lang/Object";
  private static final String CONSTRUCTOR = "<init>";
  private static final String INSTANCE = "INSTANCE";
  private static final String CREATE = "create";
  private static final String FIELD = "captured";

  private final LambdaCallSite site;
  private final String name;
  private final String bodyName;
  private final ClassNode type = new ClassNode();

  private LambdaClass(ClassNode host, LambdaCallSite site, String name, String bodyName) {
    this.site = site;
    this.name = name;
    this.bodyName = bodyName;
    type.version = Math.max(host.version & 0xffff, Opcodes.V1_8);
    type.access = Opcodes.ACC_FINAL | Opcodes.ACC_SUPER | Opcodes.ACC_SYNTHETIC;
    type.name = name;
    type.superName = OBJECT;
    type.interfaces.add(site.type().getInternalName());
    type.interfaces.addAll(site.markers());
  }

  /**
   * Makes the class.
   *
   * @param host class that the lambda stands in
   * @param name internal name of the class to be made
   * @param bodyName name that the body's method has now
   */
  static ClassNode make(ClassNode host, LambdaCallSite site, String name, String bodyName) {
    return new LambdaClass(host, site, name, bodyName).make();
  }

  /** Returns what takes the place of the call site. */
  static AbstractInsnNode use(InvokeDynamicInsnNode instruction, String name) {
    Type type = Type.getReturnType(instruction.desc);
    return Type.getArgumentTypes(instruction.desc).length == 0
        ? new FieldInsnNode(Opcodes.GETSTATIC, name, INSTANCE, type.getDescriptor())
        : new MethodInsnNode(Opcodes.INVOKESTATIC, name, CREATE, instruction.desc, false);
  }

  private ClassNode make() {
    addConstructor();
    if (site.captured().length == 0) {
      addInstance();
    } else {
      addFactory();
    }
    site.methodTypes().forEach(this::addMethod);
    return type;
  }

  private String constructorDescriptor() {
    return Type.getMethodDescriptor(Type.VOID_TYPE, site.captured());
  }

  private void addConstructor() {
    MethodNode code = addMethod(0, CONSTRUCTOR, constructorDescriptor());
    code.visitVarInsn(Opcodes.ALOAD, 0);
    code.visitMethodInsn(Opcodes.INVOKESPECIAL, OBJECT, CONSTRUCTOR, "()V", false);
    int slot = 1;
    for (int index = 0; index < site.captured().length; index++) {
      Type each = site.captured()[index];
      int access = Opcodes.ACC_PRIVATE | Opcodes.ACC_FINAL;
      type.fields.add(new FieldNode(access, FIELD + index, each.getDescriptor(), null, null));
      code.visitVarInsn(Opcodes.ALOAD, 0);
      code.visitVarInsn(each.getOpcode(Opcodes.ILOAD), slot);
      code.visitFieldInsn(Opcodes.PUTFIELD, name, FIELD + index, each.getDescriptor());
      slot += each.getSize();
    }
    code.visitInsn(Opcodes.RETURN);
  }

  private void addInstance() {
    int access = Opcodes.ACC_STATIC | Opcodes.ACC_FINAL;
    String descriptor = site.type().getDescriptor();
    type.fields.add(new FieldNode(access, INSTANCE, descriptor, null, null));
    MethodNode code = addMethod(Opcodes.ACC_STATIC, "<clinit>", "()V");
    code.visitTypeInsn(Opcodes.NEW, name);
    code.visitInsn(Opcodes.DUP);
    code.visitMethodInsn(Opcodes.INVOKESPECIAL, name, CONSTRUCTOR, "()V", false);
    code.visitFieldInsn(Opcodes.PUTSTATIC, name, INSTANCE, descriptor);
    code.visitInsn(Opcodes.RETURN);
  }

  private void addFactory() {
    String descriptor = Type.getMethodDescriptor(site.type(), site.captured());
    MethodNode code = addMethod(Opcodes.ACC_STATIC, CREATE, descriptor);
    code.visitTypeInsn(Opcodes.NEW, name);
    code.visitInsn(Opcodes.DUP);
    int slot = 0;
    for (Type each : site.captured()) {
      code.visitVarInsn(each.getOpcode(Opcodes.ILOAD), slot);
      slot += each.getSize();
    }
    code.visitMethodInsn(Opcodes.INVOKESPECIAL, name, CONSTRUCTOR, constructorDescriptor(), false);
    code.visitInsn(Opcodes.ARETURN);
  }

  private void addMethod(Type methodType) {
    Handle body = site.body();
    boolean constructs = body.getTag() == Opcodes.H_NEWINVOKESPECIAL;
    MethodNode code = addMethod(Opcodes.ACC_PUBLIC, site.methodName(), methodType.getDescriptor());
    if (constructs) {
      code.visitTypeInsn(Opcodes.NEW, body.getOwner());
      code.visitInsn(Opcodes.DUP);
    }
    List<Type> wanted = bodyArguments();
    int index = 0;
    for (Type each : site.captured()) {
      code.visitVarInsn(Opcodes.ALOAD, 0);
      code.visitFieldInsn(Opcodes.GETFIELD, name, FIELD + index, each.getDescriptor());
      ValueConversion.convert(code, each, each, wanted.get(index));
      index++;
    }
    Type[] given = methodType.getArgumentTypes();
    Type[] actual = site.actualType().getArgumentTypes();
    int slot = 1;
    for (int place = 0; place < given.length; place++) {
      code.visitVarInsn(given[place].getOpcode(Opcodes.ILOAD), slot);
      ValueConversion.convert(code, given[place], actual[place], wanted.get(index + place));
      slot += given[place].getSize();
    }
    code.visitMethodInsn(
        instruction(body), body.getOwner(), bodyName, body.getDesc(), body.isInterface());
    Type made =
        constructs ? Type.getObjectType(body.getOwner()) : Type.getReturnType(body.getDesc());
    addReturn(code, made, methodType.getReturnType());
  }

  private List<Type> bodyArguments() {
    Handle body = site.body();
    List<Type> arguments = new ArrayList<>();
    if (body.getTag() != Opcodes.H_INVOKESTATIC && body.getTag() != Opcodes.H_NEWINVOKESPECIAL) {
      arguments.add(Type.getObjectType(body.getOwner()));
    }
    arguments.addAll(List.of(Type.getArgumentTypes(body.getDesc())));
    return arguments;
  }

  private static int instruction(Handle body) {
    return switch (body.getTag()) {
      case Opcodes.H_NEWINVOKESPECIAL -> Opcodes.INVOKESPECIAL;
      case Opcodes.H_INVOKESTATIC -> Opcodes.INVOKESTATIC;
      default -> body.isInterface() ? Opcodes.INVOKEINTERFACE : Opcodes.INVOKEVIRTUAL;
    };
  }

  private static void addReturn(MethodNode code, Type made, Type wanted) {
    if (wanted.getSort() != Type.VOID) {
      ValueConversion.convert(code, made, made, wanted);
    } else if (made.getSize() > 0) {
      code.visitInsn(made.getSize() == 1 ? Opcodes.POP : Opcodes.POP2);
    }
    code.visitInsn(wanted.getOpcode(Opcodes.IRETURN));
  }

  private MethodNode addMethod(int access, String methodName, String descriptor) {
    MethodNode code = new MethodNode(access, methodName, descriptor, null, null);
    type.methods.add(code);
    return code;
  }
}
