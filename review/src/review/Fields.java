package review;

/** Reads single fields of a command line. */
final class Fields {
    private Fields() {}

    static String opaque(String line) {
        for (String token : line.split(" ")) {
            if (token.startsWith("O")) {
                return token;
            }
        }
        return "O0";
    }

    static int waitMs(String line) {
        int at = line.indexOf("d=");
        int end = at;
        for (end = at + 2; at >= 0 && end < line.length() && Character.isDigit(line.charAt(end)); ) {
            end++;
        }
        return at < 0 ? -1 : Integer.parseInt(line.substring(at + 2, end));
    }
}
