package yewpath.intake;

/** Parses and formats the values of HTTP header fields. */
final class HeaderFields {
    private HeaderFields() {}

    /**
     * Parses a duration such as "480m" (milliseconds) or "480u" (microseconds); returns -1 if it is invalid.
     */
    static long parseMicros(String value) {
        if (value == null || !value.matches("[0-9]{1,12}(\\.[0-9]{1,9})?[mu]")) {
            return -1;
        }
        double number = Double.parseDouble(value.substring(0, value.length() - 1));
        return Math.round(value.endsWith("m") ? number * 1000 : number);
    }

    /** Returns the number of the parameter "dest" without leading zeros; null if there is no valid one. */
    static String parseDestination(String value) {
        if (value != null) {
            for (String parameter : value.split("[,;]")) {
                String[] nameAndValue = parameter.strip().split("=", 2);
                if (nameAndValue[0].equals("dest") && nameAndValue.length == 2
                    && nameAndValue[1].matches("[0-9]{1,9}")) {
                    return String.valueOf(Long.parseLong(nameAndValue[1]));
                }
            }
        }
        return null;
    }

    /** Formats a duration as seconds with three decimals, rounded up. */
    static String formatSeconds(long micros) {
        long millis = (micros + 999) / 1000;
        return millis / 1000 + "." + String.format("%03d", millis % 1000);
    }
}
