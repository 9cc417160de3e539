package firstage.server.engine;

import java.util.ArrayList;
import java.util.List;

/** The pages of a result, in the order in which they are fetched. */
final class ResultPages {
    private static final int MAX_PAGES = 64;

    /** Limit on the size of a result, about five times the largest that an engine may send. */
    private static final int MAX_RESULT_BYTES = 256 * 1024;

    private final List<byte[]> pages = new ArrayList<>();
    private int pageCount;
    private int bytes;

    /** Adds a page; returns false if the response can't be this page of the result. */
    boolean add(EngineResponse response, int page) {
        if (page == 0) {
            pageCount = EngineProtocol.pageCount(response);
        }
        boolean usable =
                pageCount > 0
                        && pageCount <= MAX_PAGES
                        && response.isValidPage()
                        && pages.size() == page
                        && (page == 0 || EngineProtocol.pageNumber(response) == page);
        if (usable) {
            pages.add(response.body());
            bytes += response.body().length;
        }
        return usable;
    }

    boolean isTooLarge() {
        return bytes > MAX_RESULT_BYTES;
    }

    boolean isComplete() {
        return pages.size() >= pageCount;
    }

    List<byte[]> pages() {
        return pages;
    }
}
