package org.gradeledge.standin.load;

import java.util.List;

/** Texts of the users' own kinds, each made unlike all others by a number. */
abstract class SampleTexts {

  private static final List<String> BULGARIAN =
      List.of(
          "Търся място от Велико Търново до Шумен в петък след обяд",
          "Две места Пловдив – Хасково, баба ми е с бастун",
          "Обаждане от Ямбол: сезонен работник до Свиленград утре рано");

  private static final List<String> VIETNAMESE =
      List.of(
          "Tiêu đề báo cần đủ dấu: Đường Nguyễn Huệ rực rỡ",
          "Phông chữ cho trường học: ấ ầ ẩ ẫ ậ ớ ờ ở ỡ ợ",
          "Tóm tắt giấy phép của xưởng chữ nhỏ ở Huế");

  private SampleTexts() {}

  static String of(String pipeline, int number) {
    boolean riding = pipeline.startsWith("seat") || pipeline.startsWith("trip");
    List<String> texts = riding ? BULGARIAN : VIETNAMESE;
    return texts.get(number % texts.size()) + " №" + number;
  }
}
