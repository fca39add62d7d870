package org.gradeledge.packaging;

import java.io.Serializable;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import java.util.function.BiFunction;
import java.util.function.DoubleSupplier;
import java.util.function.Function;
import java.util.function.IntBinaryOperator;
import java.util.function.IntFunction;
import java.util.function.LongUnaryOperator;
import java.util.function.Supplier;
import java.util.function.ToDoubleFunction;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/** Lambdas, references and records of every kind; what they answer must not change. */
public final class LambdaSamples implements Callable<String> {

  private interface Named {
    String name();

    default Supplier<String> greeting() {
      return () -> "hello " + name();
    }
  }

  private interface Doubler extends Function<Integer, Integer> {
    @Override
    Integer apply(Integer value);
  }

  private record Place(String zone, int number, double weight, long[] sizes) implements Named {
    @Override
    public String name() {
      return zone + number;
    }
  }

  private static class Base {
    Supplier<String> text() {
      return () -> "base " + this.own();
    }

    private String own() {
      return "private";
    }
  }

  private static final class Derived extends Base {
    @Override
    Supplier<String> text() {
      return () -> "derived, " + super.text().get();
    }
  }

  private final String field = "field";

  @Override
  public String call() throws Exception {
    List<String> lines = new ArrayList<>();
    long captured = 7;
    LongUnaryOperator adding = value -> value + captured;
    lines.add("captured " + adding.applyAsLong(5));
    Supplier<String> ofField = () -> field + captured;
    lines.add(ofField.get());
    Function<String, Integer> length = String::length;
    lines.add("reference " + length.apply("four"));
    IntFunction<int[]> array = int[]::new;
    lines.add("array " + array.apply(3).length);
    Function<String, StringBuilder> builder = StringBuilder::new;
    lines.add("new " + builder.apply("x").append('y'));
    ToDoubleFunction<Integer> widened = Integer::intValue;
    lines.add("widened " + widened.applyAsDouble(4));
    DoubleSupplier boxed = () -> Integer.valueOf(9);
    lines.add("boxed " + boxed.getAsDouble());
    IntBinaryOperator larger = Math::max;
    lines.add("static " + larger.applyAsInt(3, 8));
    Doubler doubler = value -> value * 2;
    Function<Integer, Integer> general = doubler;
    lines.add("bridged " + general.apply(21));
    Supplier<String> serializable = (Supplier<String> & Serializable) () -> "serializable";
    lines.add(serializable.get());
    Runnable dropped = lines::size;
    dropped.run();
    Comparator<String> order = Comparator.comparing(String::length);
    lines.add("sorted " + Stream.of("ccc", "a", "bb").sorted(order.reversed()).toList());
    lines.add(new Derived().text().get());
    lines.add(places());
    lines.add(nested().apply("outer").apply("inner"));
    return String.join("\n", lines);
  }

  private static Function<String, Function<String, String>> nested() {
    return outer -> inner -> outer + "/" + inner;
  }

  private static String places() {
    long[] sizes = {1};
    Place one = new Place("a", 1, Double.NaN, sizes);
    Place same = new Place("a", 1, Double.NaN, sizes);
    Place other = new Place(null, 1, -0.0, sizes);
    BiFunction<Object, Object, Boolean> equal = Object::equals;
    Map<String, Integer> counts =
        IntStream.range(0, 5)
            .boxed()
            .collect(
                Collectors.toMap(each -> "n" + each % 2, each -> 1, Integer::sum, TreeMap::new));
    return Stream.of(
            equal.apply(one, same),
            equal.apply(one, other),
            equal.apply(other, new Place(null, 1, 0.0, sizes)),
            equal.apply(one, "text"),
            one.hashCode() == same.hashCode(),
            other.hashCode() - new Place(null, 2, -0.0, sizes).hashCode(),
            one.greeting().get(),
            counts)
        .map(String::valueOf)
        .collect(Collectors.joining(" "));
  }
}
