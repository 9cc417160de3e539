package firstage.cells;

/** Whole numbers in bytes, the high one first: what cells tell each other in rows of fixed size. */
final class BigEndianBytes {
    private final byte[] all;
    private int at;

    /** To read these, or to write so many. */
    BigEndianBytes(byte[] all) {
        this.all = all;
    }

    BigEndianBytes put(int number, int bytes) {
        for (int shift = Byte.SIZE * (bytes - 1); shift >= 0; shift -= Byte.SIZE) {
            all[at++] = (byte) (number >>> shift);
        }
        return this;
    }

    BigEndianBytes put(byte[] more) {
        System.arraycopy(more, 0, all, at, more.length);
        at += more.length;
        return this;
    }

    /** The next number of so many bytes; without a sign where there are fewer than four. */
    int take(int bytes) {
        int number = 0;
        for (int i = 0; i < bytes; i++) {
            number = number << Byte.SIZE | all[at++] & 0xFF;
        }
        return number;
    }

    byte[] rest() {
        byte[] rest = new byte[left()];
        System.arraycopy(all, at, rest, 0, rest.length);
        at = all.length;
        return rest;
    }

    int left() {
        return all.length - at;
    }

    byte[] all() {
        return all;
    }
}
